package entryrunner

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/configurer"
	"currantledge.example/currantledge/internal/version/declarer"
)

// newOperators returns the handler of the operators' listener.
func (e *Entry) newOperators() (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Put("/api/v1/{kind:string}/{name:string}", e.operatorsOnly, e.putResource)
	return app, errors.Wrap(app.Build(), "build the operators' API")
}

func (e *Entry) operatorsOnly(ctx iris.Context) {
	sum := sha256.Sum256([]byte(strings.TrimPrefix(ctx.GetHeader("Authorization"), bearer)))
	given := identifier.Digest(hex.EncodeToString(sum[:]))
	for _, known := range e.settings.OperatorKeyDigests {
		if subtle.ConstantTimeCompare([]byte(given), []byte(known)) == 1 {
			ctx.Next()
			return
		}
	}
	ctx.StopWithStatus(http.StatusUnauthorized)
}

func (e *Entry) putResource(ctx iris.Context) {
	kind, err := declarer.ParseKind(ctx.Params().Get("kind"))
	if err != nil {
		ctx.StopWithError(http.StatusNotFound, err)
		return
	}
	raw, err := io.ReadAll(ctx.Request().Body)
	if err != nil {
		ctx.StopWithError(http.StatusBadRequest, err)
		return
	}
	resource, err := declarer.DecodeNamed(kind, ctx.Params().Get("name"), "body", raw)
	if err != nil {
		ctx.StopWithError(http.StatusUnprocessableEntity, err)
		return
	}
	if _, err := e.writer.Put(ctx.Request().Context(), resource, configurer.MatchAny()); err != nil {
		ctx.StopWithError(http.StatusConflict, err)
		return
	}
	if err := e.refreshConfiguration(ctx.Request().Context()); err != nil {
		ctx.StopWithError(http.StatusServiceUnavailable, err)
		return
	}
	ctx.StatusCode(http.StatusOK)
}
