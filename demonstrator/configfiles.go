package demonstrator

// systemConfig is the operator's configuration file that stays the same in both
// rollouts.
const systemConfig = `[system]
bulk-rate = 8MiB
max-unavailable = 0.34
origin-region = centro
region-rate = 4MiB

[service licensing]
inventory-name = SRV-0007
path-name = /fonoteca/licences
pool = licensing
repeatable-calls = lookup
unrepeatable-calls = charge

[client-account radio-uno]
inventory-name = ACC-0001

[client-account podcast]
path-name = /universidad/podcast
`

// modelConfigFormat is the operator's configuration file of the model, with a verb
// for the version.
const modelConfigFormat = `[model jingle-writer]
inventory-name = MDL-0042
path-name = /fonoteca/scripts/jingle-writer
max-tokens = 64
pool = writers
version = %s
`
