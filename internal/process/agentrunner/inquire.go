package agentrunner

import (
	"context"

	"currantledge.example/currantledge/internal/connection/linker"
	"currantledge.example/currantledge/internal/connection/messenger"
)

func (a *Agent) inquire(_ context.Context, stream *linker.Stream, _ messenger.Inquire) {
	_ = stream.Send(messenger.Broken{Reason: messenger.ReasonClaimUnresolved, MayHaveRun: true})
}
