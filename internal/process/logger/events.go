package logger

import (
	"sort"

	"github.com/rs/zerolog"
)

// Event identifies a kind of log line by its number. Numbers are never reused; docs/events.md lists them.
type Event int

// The events: 1xx process, 2xx links and membership, 3xx requests at an entry, 4xx admission and claims at an agent,
// 5xx configuration and platform, 6xx model groups and placement, 7xx gateways.
const (
	EventStarted              Event = 100
	EventStopping             Event = 101
	EventStopped              Event = 102
	EventClientsLimited       Event = 103
	EventLinkUp               Event = 200
	EventLinkDown             Event = 201
	EventLinkRefused          Event = 202
	EventNodeState            Event = 203
	EventDialFailed           Event = 204
	EventRouted               Event = 300
	EventResumed              Event = 301
	EventReattached           Event = 302
	EventCompleted            Event = 303
	EventRefused              Event = 304
	EventOutcomeUnknown       Event = 305
	EventCancelled            Event = 306
	EventRequeued             Event = 307
	EventGranted              Event = 400
	EventLimitChanged         Event = 401
	EventDispatched           Event = 402
	EventClaimed              Event = 403
	EventClaimHeld            Event = 404
	EventClaimUnresolved      Event = 405
	EventUpstreamFailed       Event = 406
	EventDigestSuspected      Event = 407
	EventDrainChanged         Event = 408
	EventConfigAdopted        Event = 500
	EventConfigWritten        Event = 501
	EventConfigRejected       Event = 502
	EventConfigPullFailed     Event = 503
	EventPlatformFailed       Event = 504
	EventLeaseAcquired        Event = 600
	EventLeaseLost            Event = 601
	EventMapPrepared          Event = 602
	EventMapDecided           Event = 603
	EventPlacementPlanned     Event = 604
	EventOrderRefused         Event = 605
	EventAttemptSucceeded     Event = 700
	EventAttemptFailed        Event = 701
	EventRequestFinished      Event = 702
	EventFleetChanged         Event = 710
	EventRowInvalid           Event = 711
	EventStoreUnavailable     Event = 712
	EventStoreAvailable       Event = 713
	EventPeerSilent           Event = 714
	EventPeerLive             Event = 715
	EventGroupClosed          Event = 716
	EventGroupOpened          Event = 717
	EventReadyChanged         Event = 718
	EventMapLeadershipChanged Event = 720
	EventMapSwitched          Event = 721
	EventMapAbandoned         Event = 722
	EventHoldReleased         Event = 723
	EventMapKept              Event = 724
	EventDemandShifted        Event = 725
	EventGroupUnreadable      Event = 726
	EventUpstreamCrashed      Event = 727
	EventCrashReported        Event = 728
	EventUpstreamRateChanged  Event = 729
	EventLinesDropped         Event = 730
	EventSettingsReloaded     Event = 731
	EventSeedInvalid          Event = 732
	EventGroupFound           Event = 733
	EventStoreRestored        Event = 734
	EventHistoryLost          Event = 735
	EventRowsIgnored          Event = 736
	EventEraDisproven         Event = 737
	EventRowsRetained         Event = 738
	EventUpstreamNotice       Event = 739
	EventRequestsWait         Event = 740
	EventListenerNotDrained   Event = 741
	EventGroupStands          Event = 742
	EventAnswerRejected       Event = 743
	EventSuspectChanged       Event = 744
)

// definition is the level and the message of all log lines of an event.
type definition struct {
	level   zerolog.Level
	message string
}

var definitions = map[Event]definition{
	EventStarted:              {zerolog.InfoLevel, "process started"},
	EventStopping:             {zerolog.InfoLevel, "graceful shutdown started"},
	EventStopped:              {zerolog.InfoLevel, "process stopped"},
	EventClientsLimited:       {zerolog.WarnLevel, "client connections closed or refused"},
	EventLinkUp:               {zerolog.InfoLevel, "link established"},
	EventLinkDown:             {zerolog.WarnLevel, "link lost"},
	EventLinkRefused:          {zerolog.WarnLevel, "link refused"},
	EventNodeState:            {zerolog.InfoLevel, "node state changed"},
	EventDialFailed:           {zerolog.WarnLevel, "link could not be established"},
	EventRouted:               {zerolog.InfoLevel, "request routed"},
	EventResumed:              {zerolog.InfoLevel, "stream resumed on another upstream"},
	EventReattached:           {zerolog.InfoLevel, "stream re-attached over a new connection"},
	EventCompleted:            {zerolog.InfoLevel, "request complete"},
	EventRefused:              {zerolog.InfoLevel, "request refused, not run"},
	EventOutcomeUnknown:       {zerolog.WarnLevel, "request outcome unknown"},
	EventCancelled:            {zerolog.InfoLevel, "request cancelled"},
	EventRequeued:             {zerolog.InfoLevel, "request requeued"},
	EventGranted:              {zerolog.DebugLevel, "credits granted"},
	EventLimitChanged:         {zerolog.InfoLevel, "upstream concurrency limit changed"},
	EventDispatched:           {zerolog.InfoLevel, "request dispatched to the upstream"},
	EventClaimed:              {zerolog.InfoLevel, "idempotency key claimed"},
	EventClaimHeld:            {zerolog.InfoLevel, "idempotency key already claimed"},
	EventClaimUnresolved:      {zerolog.WarnLevel, "idempotency key claim unresolved, request not started"},
	EventUpstreamFailed:       {zerolog.WarnLevel, "upstream failed"},
	EventDigestSuspected:      {zerolog.WarnLevel, "request digest suspected of crashing upstreams"},
	EventDrainChanged:         {zerolog.InfoLevel, "drain state changed"},
	EventConfigAdopted:        {zerolog.InfoLevel, "configuration revision adopted"},
	EventConfigWritten:        {zerolog.InfoLevel, "configuration change accepted"},
	EventConfigRejected:       {zerolog.InfoLevel, "configuration change rejected"},
	EventConfigPullFailed:     {zerolog.DebugLevel, "configuration pull from a peer failed"},
	EventPlatformFailed:       {zerolog.WarnLevel, "platform request failed"},
	EventLeaseAcquired:        {zerolog.InfoLevel, "group lease acquired"},
	EventLeaseLost:            {zerolog.WarnLevel, "group lease lost"},
	EventMapPrepared:          {zerolog.InfoLevel, "expert map prepared"},
	EventMapDecided:           {zerolog.InfoLevel, "expert map change committed or aborted"},
	EventPlacementPlanned:     {zerolog.InfoLevel, "expert placement planning finished"},
	EventOrderRefused:         {zerolog.WarnLevel, "model group order or message refused"},
	EventAttemptSucceeded:     {zerolog.InfoLevel, "attempt on an upstream succeeded"},
	EventAttemptFailed:        {zerolog.WarnLevel, "attempt on an upstream failed"},
	EventRequestFinished:      {zerolog.InfoLevel, "request finished"},
	EventFleetChanged:         {zerolog.InfoLevel, "configuration or upstreams changed"},
	EventRowInvalid:           {zerolog.WarnLevel, "invalid row of a platform table ignored"},
	EventStoreUnavailable:     {zerolog.WarnLevel, "platform store unavailable"},
	EventStoreAvailable:       {zerolog.InfoLevel, "platform store available again"},
	EventPeerSilent:           {zerolog.WarnLevel, "peer gateway is silent"},
	EventPeerLive:             {zerolog.InfoLevel, "peer gateway is live"},
	EventGroupClosed:          {zerolog.WarnLevel, "model group closed to requests"},
	EventGroupOpened:          {zerolog.InfoLevel, "model group reopened"},
	EventReadyChanged:         {zerolog.InfoLevel, "readiness changed"},
	EventMapLeadershipChanged: {zerolog.InfoLevel, "expert map leadership changed"},
	EventMapSwitched:          {zerolog.InfoLevel, "expert map switched"},
	EventMapAbandoned:         {zerolog.WarnLevel, "expert map switch abandoned"},
	EventHoldReleased:         {zerolog.WarnLevel, "model group released after an unfinished map switch"},
	EventMapKept:              {zerolog.InfoLevel, "expert map kept"},
	EventDemandShifted:        {zerolog.InfoLevel, "demand for experts shifted"},
	EventUpstreamCrashed:      {zerolog.WarnLevel, "upstream crashed before it answered a request"},
	EventCrashReported:        {zerolog.InfoLevel, "crash of an upstream learned from a peer"},
	EventUpstreamRateChanged:  {zerolog.InfoLevel, "rate limit of an upstream changed"},
	EventGroupFound:           {zerolog.InfoLevel, "model group found"},
	EventStoreRestored:        {zerolog.WarnLevel, "platform store restored from a copy"},
	EventHistoryLost:          {zerolog.InfoLevel, "history of a table lost"},
	EventRowsIgnored:          {zerolog.InfoLevel, "rows of the platform store ignored"},
	EventEraDisproven:         {zerolog.WarnLevel, "rows of a false era removed"},
	EventRowsRetained:         {zerolog.InfoLevel, "rows retained from before the restoration"},
	EventUpstreamNotice:       {zerolog.InfoLevel, "upstream wants no requests or accepts them again"},
	EventRequestsWait:         {zerolog.InfoLevel, "requests wait for upstreams"},
	EventListenerNotDrained:   {zerolog.WarnLevel, "established connections were not accepted"},
	EventGroupStands:          {zerolog.WarnLevel, "group makes no passes"},
	EventAnswerRejected:       {zerolog.WarnLevel, "answer of a rank rejected"},
	EventSuspectChanged:       {zerolog.InfoLevel, "suspicion of a request or part changed"},
	EventGroupUnreadable:      {zerolog.WarnLevel, "model group cannot be led yet"},
	EventSettingsReloaded:     {zerolog.InfoLevel, "settings reload finished"},
	EventSeedInvalid:          {zerolog.WarnLevel, "invalid seed in the settings ignored"},
	EventLinesDropped:         {zerolog.WarnLevel, "log lines dropped"},
}

// Descriptor is the definition of an event, as a row of docs/events.md lists it.
type Descriptor struct {
	Event   Event
	Level   string
	Message string
}

// Catalogue returns the definitions of all events in ascending order of their numbers.
func Catalogue() []Descriptor {
	out := make([]Descriptor, 0, len(definitions))
	for number, e := range definitions {
		out = append(out, Descriptor{Event: number, Level: e.level.String(), Message: e.message})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Event < out[j].Event })
	return out
}
