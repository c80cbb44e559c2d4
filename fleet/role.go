package fleet

// String returns the role as shown in logs and tables.
func (r Role) String() string {
	switch r {
	case RoleBalancer:
		return "balancer"
	case RoleTarget:
		return "target"
	default:
		return "unknown"
	}
}
