package streamer_test

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"io"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/request/streamer"
)

// TestMain fixes the seed of the generated sequences, so that all runs test the same ones.
func TestMain(m *testing.M) {
	if err := errors.Join(flag.Set("rapid.seed", "20261204"), flag.Set("rapid.nofailfile", "true")); err != nil {
		panic(err)
	}
	m.Run()
}

// readAll reads a response from an offset to its end and acknowledges each part. It returns the bytes and the last
// message.
func readAll(ctx context.Context, b *streamer.Buffer, r *streamer.Reader, from identifier.Bytes) ([]byte, messenger.Message, error) {
	var body []byte
	var last messenger.Message
	for {
		m, err := r.Next(ctx)
		if errors.Is(err, io.EOF) {
			return body, last, nil
		}
		if err != nil {
			return body, last, err
		}
		last = m
		data, ok := m.(messenger.Data)
		if !ok {
			continue
		}
		if data.Offset != from+identifier.Bytes(len(body)) {
			return body, last, errors.New("gap between two Data messages")
		}
		body = append(body, data.Payload...)
		if err := b.Acknowledge(from + identifier.Bytes(len(body))); err != nil {
			return body, last, err
		}
	}
}

// Guards against a buffer that grows with the response, and against bytes that are lost under back-pressure.
func TestBackPressure(t *testing.T) {
	t.Parallel()
	const limit = 1000
	b := streamer.NewBuffer(streamer.BufferConfig{MaxBytes: limit})
	want := bytes.Repeat([]byte("0123456789"), 10_000)
	group, ctx := errgroup.WithContext(t.Context())
	group.Go(func() error {
		b.SetHead(messenger.Head{Status: 200})
		if err := b.Append(ctx, want); err != nil {
			return err
		}
		b.Finish()
		return nil
	})
	r, err := b.Attach(0)
	require.NoError(t, err)
	head, err := r.Next(ctx)
	require.NoError(t, err)
	require.Equal(t, messenger.Head{Status: 200}, head)
	require.LessOrEqual(t, b.Unacknowledged(), identifier.Bytes(limit))
	got, last, err := readAll(ctx, b, r, 0)
	require.NoError(t, err)
	require.NoError(t, group.Wait())
	require.Equal(t, want, got)
	require.Equal(t, messenger.End{Length: identifier.Bytes(len(want)), Digest: xxhash.Sum64(want)}, last)
	require.Zero(t, b.Unacknowledged())
}

// Guards against a writer that waits forever for an acknowledgement after its call was cancelled or has failed.
func TestBlockedWriterStops(t *testing.T) {
	t.Parallel()
	b := streamer.NewBuffer(streamer.BufferConfig{MaxBytes: 1})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorIs(t, b.Append(ctx, []byte("ab")), context.Canceled)
	done := make(chan error, 1)
	go func() { done <- b.Append(t.Context(), []byte("b")) }()
	b.Fail(messenger.ReasonUpstreamDied, true)
	var ended *streamer.EndedError
	require.ErrorAs(t, <-done, &ended)
	require.Equal(t, messenger.ReasonUpstreamDied, ended.Reason)
	b.Finish()
	r, err := b.Attach(0)
	require.NoError(t, err)
	got, last, err := readAll(t.Context(), b, r, 0)
	require.NoError(t, err)
	require.Equal(t, []byte("a"), got)
	require.Equal(t, messenger.Broken{Reason: messenger.ReasonUpstreamDied, MayHaveRun: true}, last, "a failed response must not end as complete")
}

// Guards against two connections that both deliver a response, and against offsets outside of the buffer.
func TestAttachReplacesReader(t *testing.T) {
	t.Parallel()
	b := streamer.NewBuffer(streamer.BufferConfig{})
	require.NoError(t, b.Append(t.Context(), []byte("abcdef")))
	old, err := b.Attach(0)
	require.NoError(t, err)
	_, err = old.Next(t.Context())
	require.NoError(t, err)
	blocked := make(chan error, 1)
	go func() {
		_, err := old.Next(t.Context())
		blocked <- err
	}()
	require.NoError(t, b.Acknowledge(4))
	require.NoError(t, b.Acknowledge(2), "a late acknowledgement of the old connection")
	r, err := b.Attach(4)
	require.NoError(t, err)
	var replaced *streamer.ReplacedError
	require.ErrorAs(t, <-blocked, &replaced)
	data, err := r.Next(t.Context())
	require.NoError(t, err)
	require.Equal(t, messenger.Data{Offset: 4, Payload: []byte("ef")}, data)
	var offset *streamer.OffsetError
	_, err = b.Attach(3)
	require.ErrorAs(t, err, &offset)
	_, err = b.Attach(7)
	require.ErrorAs(t, err, &offset)
	require.ErrorAs(t, b.Acknowledge(7), &offset)
}

// Guards against lost, repeated or changed bytes in any generated sequence of appends, reconnects and acknowledgements.
func TestDeliveryOverSequences(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		const limit = 60_000
		b := streamer.NewBuffer(streamer.BufferConfig{MaxBytes: limit})
		var sent, got []byte
		acknowledged := 0
		r, err := b.Attach(0)
		require.NoError(t, err)
		ended := false
		read := func(t *rapid.T) {
			m, err := r.Next(context.Background())
			require.NoError(t, err)
			data := m.(messenger.Data)
			require.Equal(t, identifier.Bytes(len(got)), data.Offset)
			got = append(got, data.Payload...)
		}
		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) {
				payload := bytes.Repeat([]byte{rapid.Byte().Draw(t, "byte")}, rapid.SampledFrom([]int{1, 7, 5000, 40_000}).Draw(t, "length"))
				if ended || len(sent)-acknowledged+len(payload) > limit {
					return
				}
				require.NoError(t, b.Append(context.Background(), payload))
				sent = append(sent, payload...)
			},
			"read": func(t *rapid.T) {
				if len(got) < len(sent) {
					read(t)
				}
			},
			"acknowledge": func(t *rapid.T) {
				offset := rapid.IntRange(0, len(got)).Draw(t, "offset")
				require.NoError(t, b.Acknowledge(identifier.Bytes(offset)))
				acknowledged = max(acknowledged, offset)
			},
			"reconnect": func(t *rapid.T) {
				got = got[:rapid.IntRange(acknowledged, len(got)).Draw(t, "held")]
				r, err = b.Attach(identifier.Bytes(len(got)))
				require.NoError(t, err)
			},
			"finish": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "chance") == 0 {
					b.Finish()
					ended = true
				}
			},
			"": func(t *rapid.T) {
				require.True(t, bytes.Equal(sent[:len(got)], got), "delivered bytes differ from the appended ones")
				require.Equal(t, identifier.Bytes(len(sent)-acknowledged), b.Unacknowledged())
			},
		})
		b.Finish()
		for len(got) < len(sent) {
			read(t)
		}
		m, err := r.Next(context.Background())
		require.NoError(t, err)
		require.Equal(t, messenger.End{Length: identifier.Bytes(len(sent)), Digest: xxhash.Sum64(sent)}, m)
	})
}
