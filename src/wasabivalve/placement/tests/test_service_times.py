"""Guard that the speed of an instance is known from what all VMs observe."""

import random

from wasabivalve.placement import service_times


def test_few_answers_on_each_of_many_vms_show_a_slow_instance():
    """A controller that saw 4 answers of 400 gave slow instances as many keys."""
    generator = random.Random(1)
    controller = service_times.ServiceTimeRatios()
    for _ in range(90):
        vm = service_times.ServiceTimeRatios()
        vm.on_response("slow", 2.0 * generator.uniform(0.6, 1.4))
        vm.on_response("fast", 0.7 * generator.uniform(0.6, 1.4))
        controller.on_report(vm.take_unreported())
        assert not vm.take_unreported()
    assert 1.7 < controller.ratio("slow") < 2.3
    assert 0.55 < controller.ratio("fast") < 0.85


def test_single_answers_prove_nothing():
    """One request in a hundred takes five times as long."""
    known = service_times.ServiceTimeRatios()
    known.on_response("i-1", 3.0)
    assert known.ratio("i-1") == 1.0


def test_change_of_speed_shows():
    """An instance that turns slow for seconds must not keep its keys."""
    known = service_times.ServiceTimeRatios()
    known.on_report({"i-1": (500, 500.0)})
    for _ in range(30):
        known.on_report({"i-1": (1, 2.4)})
    assert known.ratio("i-1") > 2.0


def test_new_life_starts_as_usual():
    """What was known of an instance that ended says nothing of the next one."""
    known = service_times.ServiceTimeRatios()
    known.on_report({"i-1": (50, 100.0)})
    known.remove("i-1")
    assert known.ratio("i-1") == 1.0
