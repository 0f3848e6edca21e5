"""Stand-ins for the platform, the executors, the workers and the balancer.

They serve tests, the demonstration and benchmarks on one machine; the product never imports them.
The store, the VM list, the executors and the workers have fault switches that are set over HTTP.
:mod:`standins.platform` emulates the platform of the ``serve-jobs`` command.
"""
