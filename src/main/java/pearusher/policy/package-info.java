/**
 * Decision logic of one assigner instance: the weights of each zone's table, admission levels,
 * ejections, and the order in which they are sent over the update channel. {@link
 * pearusher.policy.AssignmentPolicy} receives events, and {@link pearusher.policy.PolicyCommands}
 * receives the resulting commands. The package owns all decision state and is called by one thread.
 * It does no I/O, starts no thread and reads no clock: the time and the seed of random numbers are
 * arguments.
 *
 * <h2>Modules</h2>
 *
 * <ul>
 *   <li>Coordinator: {@link pearusher.policy.FaastPolicy} passes each event to its module and runs
 *       the control period, which {@link pearusher.policy.ControlClock} schedules.
 *   <li>Registries, which {@link pearusher.policy.FleetState} groups: {@link
 *       pearusher.policy.ServerRegistry} (servers and their incarnations), {@link
 *       pearusher.policy.ProxyRegistry} (proxies and their demand), {@link
 *       pearusher.policy.ZoneTables} (tables in scope), {@link pearusher.policy.ZoneScope} (servers
 *       that tables may list). {@link pearusher.policy.EndpointListWatch} renews the endpoint list.
 *   <li>Measurement: {@link pearusher.policy.ResponseTimeEstimator}, {@link
 *       pearusher.policy.ReportCycle}, {@link pearusher.policy.SuccessForecast}, {@link
 *       pearusher.policy.UtilizationMonitor}.
 *   <li>Decisions on weights: {@link pearusher.policy.WeightCalculator} with {@link
 *       pearusher.policy.OutlierDetector}, {@link pearusher.policy.SlowStart}, {@link
 *       pearusher.policy.SlowStartBudget} and {@link pearusher.policy.LocalityPreference}; {@link
 *       pearusher.policy.SubsetAssignment} derives the tables of subsets.
 *   <li>Decisions on admission: {@link pearusher.policy.OverloadDetector}, {@link
 *       pearusher.policy.AdmissionLevels}, {@link pearusher.policy.RetryPolicy}.
 *   <li>Restart: {@link pearusher.policy.TableRestorer}, {@link pearusher.policy.RestartHold}.
 *   <li>Publication: {@link pearusher.policy.UpdatePublisher} sets the order, and {@link
 *       pearusher.policy.ChannelBudget} with {@link pearusher.policy.ChannelLimits} determines what
 *       fits into the channel. {@link pearusher.policy.EjectionPublisher} and {@link
 *       pearusher.policy.ReinstatementPublisher} publish from the {@link
 *       pearusher.policy.EjectionQueue}. {@link pearusher.policy.AdmissionPublisher}, {@link
 *       pearusher.policy.WeightPublisher} and {@link pearusher.policy.ProxyBinder} publish levels,
 *       weights and binds. {@link pearusher.policy.JoinSurge} decides when proxies are bound to
 *       subsets first.
 * </ul>
 *
 * <h2>Order of a control period</h2>
 *
 * <ol>
 *   <li>Collect: the period's load reports are added to the decayed evidence, and the success
 *       forecast is updated.
 *   <li>Scope: tables of unused zones are released, and the servers that tables may list are
 *       selected.
 *   <li>Load: the restart hold, the utilization polls and the overload detector are updated.
 *   <li>Compute: response times, slow start and outliers of all servers, then the planned shares of
 *       each zone, then those of the subsets.
 *   <li>Admit: admission levels are derived from the admitted share, and servers whose retention
 *       time has passed are deleted.
 *   <li>Publish: changes that fit into the channel are published by urgency, at the end of every
 *       batch of events.
 * </ol>
 */
package pearusher.policy;
