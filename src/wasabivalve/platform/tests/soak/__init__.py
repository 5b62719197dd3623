"""Run VMs as processes under random faults; check what callers and instances see."""
