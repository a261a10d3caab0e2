package pearusher.scale;

import java.net.InetSocketAddress;

/**
 * Where an assigner, real or hollow, takes proxies and collectors, and where its traffic is
 * counted.
 */
record AssignerAddress(InetSocketAddress address, Traffic traffic) {}
