package gooseberrypass

// PoolOf returns the pool of a listed instance: that of its configuration, if set,
// otherwise the listed one.
func (c *Config) PoolOf(listed ListedInstance) Pool {
	if i, ok := c.InstanceOf(listed); ok && i.Pool() != "" {
		return i.Pool()
	}
	return listed.Pool
}

// InstanceOf returns the configuration of a listed instance.
func (c *Config) InstanceOf(listed ListedInstance) (Instance, bool) {
	id, ok := c.Resolve(KindInstance, Name(listed.ID))
	if !ok {
		return Instance{}, false
	}
	return c.Instance(id)
}
