package meter

// Traffic reports the bytes that all links of a process have sent and received. The control figures count the frames of
// control streams only.
type Traffic interface {
	Sent() int64
	Received() int64
	ControlSent() int64
	ControlReceived() int64
}

// PublishTraffic publishes the traffic of the links.
func (m *Meter) PublishTraffic(t Traffic) {
	m.SetGauge(LinkBytesSent, t.Sent)
	m.SetGauge(LinkBytesReceived, t.Received)
	m.SetGauge(ControlBytesSent, t.ControlSent)
	m.SetGauge(ControlBytesReceived, t.ControlReceived)
}
