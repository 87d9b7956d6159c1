"""Measurements that run in virtual time, without processes."""
