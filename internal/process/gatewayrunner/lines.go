package gatewayrunner

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/process/meter"
)

const (
	// maxPendingLines bounds the memory of lines that standard output has not taken, at about 400 bytes a line.
	maxPendingLines = 2048
	// dropReport is how often lost lines are reported.
	dropReport = time.Second
)

// lineWriter hands log lines to an output without ever waiting for it. Lines beyond the bound are dropped and counted.
type lineWriter struct {
	output  io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    sync.WaitGroup
	stop    chan struct{}
}

func newLineWriter(output io.Writer) *lineWriter {
	w := &lineWriter{output: output, lines: make(chan []byte, maxPendingLines), stop: make(chan struct{})}
	w.done.Add(1)
	go w.drain()
	return w
}

// Write queues a copy of the line.
func (w *lineWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// drain writes queued lines together, which costs one system call for many lines.
func (w *lineWriter) drain() {
	defer w.done.Done()
	var batch []byte
	for {
		select {
		case line := <-w.lines:
			batch = append(batch[:0], line...)
			batch = w.gather(batch)
			_, _ = w.output.Write(batch)
		case <-w.stop:
			_, _ = w.output.Write(w.gather(nil))
			return
		}
	}
}

func (w *lineWriter) gather(batch []byte) []byte {
	for {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
}

// start reports dropped lines.
func (w *lineWriter) start(log *logger.Logger, count *meter.Meter) {
	count.Gauge(meter.LogLinesDropped, w.dropped.Load)
	w.done.Add(1)
	go func() {
		defer w.done.Done()
		ticker := time.NewTicker(dropReport)
		defer ticker.Stop()
		reported := int64(0)
		for {
			select {
			case <-w.stop:
				return
			case <-ticker.C:
				if n := w.dropped.Load(); n > reported {
					log.Event(logger.EventLinesDropped).Int64("lines", n-reported).Send()
					reported = n
				}
			}
		}
	}()
}

// Close writes what is queued.
func (w *lineWriter) Close() {
	close(w.stop)
	w.done.Wait()
}
