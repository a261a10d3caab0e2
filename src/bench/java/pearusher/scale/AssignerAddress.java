package pearusher.scale;

import java.net.InetSocketAddress;

/**
 * The address of an assigner, real or simulated, for proxies and collectors, and the counter of its
 * traffic.
 */
record AssignerAddress(InetSocketAddress address, TrafficCounter traffic) {}
