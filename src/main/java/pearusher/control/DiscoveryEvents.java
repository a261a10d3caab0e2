package pearusher.control;

import java.util.function.BooleanSupplier;
import pearusher.policy.HealthCheckResult;
import pearusher.protocol.EndpointList;

/** Receiver of endpoint lists and health check results. Any thread may call it. */
public interface DiscoveryEvents {
  /**
   * Handles an endpoint list or a change of it, from a call that is always current. A list older
   * than the list in force is ignored, unless discovery is assumed to have restarted.
   *
   * @param startsWatch whether it is the first list of a watch
   */
  default void onEndpointList(EndpointList list, boolean startsWatch) {
    onEndpointList(list, startsWatch, () -> true);
  }

  /**
   * Handles an endpoint list or a change of it, unless the call that it arrived on is superseded.
   * The last lists of a replaced watch may be delivered after the first list of the new watch. An
   * older complete list delivered then could be mistaken for that of a discovery that has
   * restarted.
   *
   * @param startsWatch whether it is the first list of a watch
   * @param isCurrent returns whether the call is not superseded; called on the event-loop thread
   */
  void onEndpointList(EndpointList list, boolean startsWatch, BooleanSupplier isCurrent);

  /**
   * Handles a failed fetch or the end of a watch.
   *
   * @param isCurrent returns whether the call is not superseded; called on the event-loop thread
   */
  void onEndpointListFailed(BooleanSupplier isCurrent);

  /** Handles a possible change of the address of discovery. */
  void onDiscoveryAddressChanged();

  /**
   * Handles the result of a health check.
   *
   * @param tookUs the duration of the check, in microseconds
   * @param load the load metrics reported, in the order of the settings; valid if the result is OK
   */
  void onHealthCheckResult(long server, HealthCheckResult result, long tookUs, float[] load);
}
