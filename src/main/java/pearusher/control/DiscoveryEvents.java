package pearusher.control;

import java.util.function.BooleanSupplier;
import pearusher.policy.HealthCheckResult;
import pearusher.protocol.EndpointList;

/** What discovery and health checks report to the controller. Any thread may call it. */
public interface DiscoveryEvents {
  /**
   * A list or a change of it arrived; one older than the list in force is ignored.
   *
   * @param startsWatch whether it is the first list of a watch
   */
  default void onEndpointList(EndpointList list, boolean startsWatch) {
    onEndpointList(list, startsWatch, () -> true);
  }

  /**
   * A list or a change of it arrived, from a call that may be superseded by now. The last lists of
   * a replaced watch may be delivered after the first of the new one, where an older complete list
   * would look like a discovery that restarted.
   *
   * @param isCurrent whether the call still counts; asked on the event-loop thread
   */
  void onEndpointList(EndpointList list, boolean startsWatch, BooleanSupplier isCurrent);

  /**
   * A fetch failed, or a watch ended.
   *
   * @param isCurrent whether the call still counts; asked on the event-loop thread
   */
  void onEndpointListFailed(BooleanSupplier isCurrent);

  /** The address of discovery may have changed. */
  void onDiscoveryMoved();

  /** A health check ended. */
  void onHealthCheckResult(long server, HealthCheckResult result, long tookUs, float[] load);
}
