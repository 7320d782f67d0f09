"""Failover of a whole site, by a plan that the command line and every running node compute alike.

`capacity` places the load of failed sites on other sites, and `shedding` chooses the work to reject
where capacity is short. `planner` combines both for a given failure and names the binding
constraint; `sizing` computes how many cores are missing, and `plan_report` describes the plan.

`detector` distinguishes failure, partition and degradation of a site, and `recovery` returns load
to a site in stages. `node_plan` and `node_selection` apply all of this on a running node, from its
membership view; `local_priority` rejects requests on a node that takes failover traffic.

`plan_agreement` and `operator_commands` define entries of the gossiped member metadata.
`config` is the operator's block.
"""
