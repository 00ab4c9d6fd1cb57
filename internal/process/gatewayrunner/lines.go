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
	// maxPendingLines bounds the memory for lines that wait for standard output; a line has about 400 bytes.
	maxPendingLines = 2048
	// dropReportInterval is the time between two reports of dropped lines.
	dropReportInterval = time.Second
)

// lineWriter writes log lines to an output without blocking the caller. Lines beyond maxPendingLines are dropped and
// counted. Its methods may be called concurrently.
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
	go w.writeQueued()
	return w
}

// Write queues a copy of the line, or drops it if the queue is full. It never returns an error.
func (w *lineWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// writeQueued writes the queued lines until Close is called. It joins lines, so that one system call writes many.
func (w *lineWriter) writeQueued() {
	defer w.done.Done()
	var batch []byte
	for {
		select {
		case line := <-w.lines:
			batch = append(batch[:0], line...)
			batch = w.appendQueued(batch)
			_, _ = w.output.Write(batch)
		case <-w.stop:
			_, _ = w.output.Write(w.appendQueued(nil))
			return
		}
	}
}

// appendQueued appends the lines that are queued now to a batch.
func (w *lineWriter) appendQueued(batch []byte) []byte {
	for {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
}

// startDropReports registers the number of dropped lines as a gauge and logs new drops until Close is called.
func (w *lineWriter) startDropReports(log *logger.Logger, m *meter.Meter) {
	m.SetGauge(meter.LogLinesDropped, w.dropped.Load)
	w.done.Add(1)
	go func() {
		defer w.done.Done()
		ticker := time.NewTicker(dropReportInterval)
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

// Close writes the queued lines and stops the goroutines of the writer.
func (w *lineWriter) Close() {
	close(w.stop)
	w.done.Wait()
}
