package pearusher.scale;

import java.net.InetSocketAddress;

/**
 * Where an assigner, real or simulated, takes proxies and collectors, and where its traffic is
 * counted.
 */
record AssignerAddress(InetSocketAddress address, TrafficCounter traffic) {}
