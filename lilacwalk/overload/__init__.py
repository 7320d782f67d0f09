"""Overload control of one app server.

The package decides which requests are admitted, in which order they are executed, which
dependency calls are made, when a request is terminated, and which load the server advertises.
Its modules contain decision logic only: none does I/O, reads a clock or starts a thread.
`controller.Controller` is the entry point, `events` defines its input, and
`decision_sink.DecisionSink` receives its decisions.
"""
