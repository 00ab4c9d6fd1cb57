package launcher

// Paths that the stand-ins answer once they are ready.
const (
	platformReadyPath = "/vms/v1/list"
	engineReadyPath   = "/engine/v1/report"
	serviceReadyPath  = "/report"
)

func (d *Deployment) platformArgs() []string {
	return nil
}

func engineArgs(GroupPlan) []string {
	return nil
}

func serviceArgs(ServicePlan) []string {
	return nil
}
