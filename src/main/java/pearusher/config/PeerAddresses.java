package pearusher.config;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;

/**
 * The addresses of the assigners of one tier, for datagrams between them.
 *
 * @param listen where this assigner receives them; empty if it neither receives nor sends any
 * @param assigners the address of each assigner by its index; empty without {@code listen}
 * @param broadcast the address that reaches all assigners, if there is one
 */
public record PeerAddresses(
    Optional<InetSocketAddress> listen,
    List<InetSocketAddress> assigners,
    Optional<InetSocketAddress> broadcast) {
  /** The addresses of an assigner without peers. */
  public static final PeerAddresses NONE =
      new PeerAddresses(Optional.empty(), List.of(), Optional.empty());
}
