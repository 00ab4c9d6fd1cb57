package meter

// Clients is what a listener tells of the connections of its clients. All but Connections and Bytes only increase.
type Clients interface {
	Connections() int64
	Bytes() int64
	Shed() int64
	Refused() int64
	Oversized() int64
	Expired() int64
}

// PublishClients publishes what listeners tell of the connections of their clients, by the name of the listener.
func (m *Meter) PublishClients(listeners map[string]Clients) {
	for name, read := range map[Name]func(Clients) int64{
		ClientConnections: Clients.Connections,
		ClientBytes:       Clients.Bytes,
		ClientsShed:       Clients.Shed,
		ClientsRefused:    Clients.Refused,
		ClientsOversized:  Clients.Oversized,
		ClientsExpired:    Clients.Expired,
	} {
		m.SetGauges(name, func() map[string]float64 {
			values := make(map[string]float64, len(listeners))
			for label, l := range listeners {
				values[label] = float64(read(l))
			}
			return values
		})
	}
}
