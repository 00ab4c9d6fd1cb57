package meter

// Traffic counts the bytes of all links of a process.
type Traffic interface {
	Sent() int64
	Received() int64
	ControlSent() int64
	ControlReceived() int64
}

// Links publishes the bytes of the links.
func (m *Meter) Links(t Traffic) {
	m.Gauge(LinkBytesSent, t.Sent)
	m.Gauge(LinkBytesReceived, t.Received)
	m.Gauge(ControlBytesSent, t.ControlSent)
	m.Gauge(ControlBytesReceived, t.ControlReceived)
}
