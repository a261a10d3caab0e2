/**
 * Decisions of one instance: the weights of each zone's table, admission levels, ejections, and the
 * order in which the update channel carries them. {@link pearusher.policy.AssignmentPolicy}
 * receives events, {@link pearusher.policy.PolicyCommands} takes the commands. The package owns all
 * decision state and is called by one thread. It does no I/O, starts no thread and reads no clock:
 * time and the seed of random numbers are arguments.
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
 *   <li>Measuring: {@link pearusher.policy.ResponseTimeEstimator}, {@link
 *       pearusher.policy.ReportCycle}, {@link pearusher.policy.SuccessForecast}, {@link
 *       pearusher.policy.UtilizationMonitor}.
 *   <li>Deciding on weights: {@link pearusher.policy.WeightCalculator} with {@link
 *       pearusher.policy.OutlierDetector}, {@link pearusher.policy.SlowStart}, {@link
 *       pearusher.policy.SlowStartBudget} and {@link pearusher.policy.LocalityPreference}; {@link
 *       pearusher.policy.SubsetAssignment} derives the tables of subsets.
 *   <li>Deciding on admission: {@link pearusher.policy.OverloadDetector}, {@link
 *       pearusher.policy.AdmissionLevels}, {@link pearusher.policy.RetryPolicy}.
 *   <li>Restart: {@link pearusher.policy.TableRestorer}, {@link pearusher.policy.RestartHold}.
 *   <li>Publishing: {@link pearusher.policy.UpdatePublisher} sets the order, {@link
 *       pearusher.policy.ChannelBudget} with {@link pearusher.policy.ChannelLimits} what fits;
 *       {@link pearusher.policy.EjectionPublisher} and {@link
 *       pearusher.policy.ReinstatementPublisher} empty the {@link pearusher.policy.EjectionQueue},
 *       {@link pearusher.policy.AdmissionPublisher}, {@link pearusher.policy.WeightPublisher} and
 *       {@link pearusher.policy.ProxyBinder} the rest; {@link pearusher.policy.JoinSurge} decides
 *       when proxies are bound to subsets first.
 * </ul>
 *
 * <h2>Order of a control period</h2>
 *
 * <ol>
 *   <li>Collect: the period's load reports join the decayed evidence; the success forecast follows.
 *   <li>Scope: tables of unused zones are released, the servers that tables may list are chosen.
 *   <li>Load: the restart hold, the utilization polls and the overload detector are updated.
 *   <li>Compute: response times, slow start and outliers of all servers; then each zone's planned
 *       shares; then those of the subsets.
 *   <li>Admission levels follow from the admitted share; servers removed long ago are forgotten.
 *   <li>Publish, at the end of every batch of events: what fits into the channel, by urgency.
 * </ol>
 */
package pearusher.policy;
