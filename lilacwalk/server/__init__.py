"""The app server: startup, the event loop and its components, reload, drain and exit.

`startup` builds the `EventLoop`, which owns one object for each concern: `RequestLifecycle`,
`ExecutorSession`, `DependencyCalls`, `DecisionApplier`, `Subsystems` and `Drain`. The optional
subsystems are in `integrations` and are imported only if the operator's file configures them.
`RequestScreening` responds to some requests itself; the controller in `lilacwalk.overload` decides
on all others.
"""
