package identifier

import "strings"

// GroupID identifies a model group. The names of groups are unique within their service.
type GroupID struct {
	Service Service
	// Group is empty for the upstreams of a service whose groups are not known.
	Group ModelGroup
}

// groupSeparator separates the parts of a GroupID as text. It occurs in no name.
const groupSeparator = "\x00"

// ParseGroupID returns the GroupID with a text that String returned.
func ParseGroupID(text string) GroupID {
	service, group, _ := strings.Cut(text, groupSeparator)
	return GroupID{Service: Service(service), Group: ModelGroup(group)}
}

// String returns the GroupID as text for messages between gateways.
func (id GroupID) String() string {
	return string(id.Service) + groupSeparator + string(id.Group)
}
