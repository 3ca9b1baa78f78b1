"""Patch the standard library for gevent; programs import this first."""

from gevent import monkey

monkey.patch_all()
