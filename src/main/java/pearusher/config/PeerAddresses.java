package pearusher.config;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;

/**
 * Addresses for datagrams between the assigners of one tier.
 *
 * @param listen the address on which this assigner receives datagrams; empty if it neither receives
 *     nor sends any
 * @param assigners the address of each assigner by its index; empty if {@code listen} is empty
 * @param broadcast the broadcast address of the tier; empty if there is none
 */
public record PeerAddresses(
    Optional<InetSocketAddress> listen,
    List<InetSocketAddress> assigners,
    Optional<InetSocketAddress> broadcast) {
  /** Addresses of an assigner that exchanges no datagrams with peers. */
  public static final PeerAddresses NONE =
      new PeerAddresses(Optional.empty(), List.of(), Optional.empty());
}
