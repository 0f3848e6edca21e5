"""Small stand-ins for the platform, the executors, the workers and the balancer.

They serve tests, the demonstration and measurements on one machine; the product never imports
them. Each has fault switches that are driven over HTTP.
"""
