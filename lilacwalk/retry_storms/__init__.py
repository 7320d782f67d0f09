"""Detects retry storms, distinguishes them from plain overload and damps them.

Damping rejects attempts before they reach the controller. `metrics` measures attempts against their
baseline, and `stages` decides whether there is a storm. `retry_budget` decides which retries are
admitted and `retry_after` when rejected clients may return; `damper` combines all of them. None of
them does I/O. `config` is the operator's block.
"""
