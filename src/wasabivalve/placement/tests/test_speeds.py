"""Guard that the speed of an instance is known from what all VMs observe."""

import random

from wasabivalve.placement import speeds


def test_few_answers_on_each_of_many_vms_show_a_slow_instance():
    """A controller that saw 4 answers of 400 gave slow instances as many keys."""
    generator = random.Random(1)
    controller = speeds.InstanceSpeeds()
    for _ in range(90):
        vm = speeds.InstanceSpeeds()
        vm.on_answer("slow", 2.0 * generator.uniform(0.6, 1.4))
        vm.on_answer("fast", 0.7 * generator.uniform(0.6, 1.4))
        controller.on_report(vm.take_unreported())
        assert not vm.take_unreported()
    assert 1.7 < controller.slowness("slow") < 2.3
    assert 0.55 < controller.slowness("fast") < 0.85


def test_single_answers_prove_nothing():
    """One request in a hundred takes five times as long."""
    known = speeds.InstanceSpeeds()
    known.on_answer("i-1", 3.0)
    assert known.slowness("i-1") == 1.0


def test_change_of_speed_shows():
    """An instance that turns slow for seconds must not keep its keys."""
    known = speeds.InstanceSpeeds()
    known.on_report({"i-1": (500, 500.0)})
    for _ in range(30):
        known.on_report({"i-1": (1, 2.4)})
    assert known.slowness("i-1") > 2.0


def test_new_life_starts_as_usual():
    """What was known of an instance that ended says nothing of the next one."""
    known = speeds.InstanceSpeeds()
    known.on_report({"i-1": (50, 100.0)})
    known.forget("i-1")
    assert known.slowness("i-1") == 1.0
