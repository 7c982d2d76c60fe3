package gooseberrypass

// PoolOf returns the pool of a listed instance: the folder's if it names one,
// else the listed one.
func (c *Config) PoolOf(listed ListedInstance) Pool {
	if i, ok := c.InstanceOf(listed); ok && i.Pool() != "" {
		return i.Pool()
	}
	return listed.Pool
}

// InstanceOf returns what the folder says of a listed instance.
func (c *Config) InstanceOf(listed ListedInstance) (Instance, bool) {
	id, ok := c.Resolve(KindInstance, Name(listed.ID))
	if !ok {
		return Instance{}, false
	}
	return c.Instance(id)
}
