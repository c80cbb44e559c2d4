package testbed

import (
	"github.com/cowslipward/cowslipward/test/standin/fabric"
	"github.com/cowslipward/cowslipward/test/standin/platform"
)

// Platform sets the mode of a part of the platform for the VMs, or for all when none is named.
func (b *Bed) Platform(part platform.Part, mode platform.Mode, vms ...string) error {
	fault := platform.Fault{Part: part, Mode: mode}
	for _, name := range vms {
		vm, err := b.VM(name)
		if err != nil {
			return err
		}
		fault.Readers = append(fault.Readers, vm.ip.String())
	}
	return b.post(b.platformURL()+"/control/fault", fault, nil)
}

// Reads returns how many calls the configuration service took.
func (b *Bed) Reads() (platform.Reads, error) {
	var reads platform.Reads
	err := b.get(b.platformURL()+"/control/reads", &reads)
	return reads, err
}

// Cut sends a cut to the fabric.
func (b *Bed) Cut(c fabric.Cut) error { return b.post(b.fabricURL()+"/cut", c, nil) }

// Silence makes open connections carry nothing any more.
func (b *Bed) Silence(c fabric.Silence) (int, error) {
	var count int
	err := b.post(b.fabricURL()+"/silence", c, &count)
	return count, err
}

// Loss sets the loss of a path.
func (b *Bed) Loss(c fabric.Loss) error { return b.post(b.fabricURL()+"/loss", c, nil) }

// Fabric returns the counters of the fabric.
func (b *Bed) Fabric() (fabric.Counters, error) {
	var counters fabric.Counters
	err := b.get(b.fabricURL()+"/counters", &counters)
	return counters, err
}
