package meter

// Traffic reports the bytes that all links of a process have sent and received. The control figures count the frames of
// control streams only.
type Traffic interface {
	Sent() int64
	Received() int64
	ControlSent() int64
	ControlReceived() int64
}

// Links publishes the traffic of the links.
func (m *Meter) Links(t Traffic) {
	m.Gauge(LinkBytesSent, t.Sent)
	m.Gauge(LinkBytesReceived, t.Received)
	m.Gauge(ControlBytesSent, t.ControlSent)
	m.Gauge(ControlBytesReceived, t.ControlReceived)
}
