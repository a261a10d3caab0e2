package pearusher.scale;

import org.HdrHistogram.Histogram;

/**
 * A snapshot of the measurements of all simulated proxies.
 *
 * @param bound proxies that have a complete table
 * @param streamsEnded streams that the assigners ended
 * @param drainsUnfinished draining servers that are still in the tables of a proxy
 * @param connectFailure the last failure to open a connection; null if there was none
 */
record ProxyFigures(
    int bound,
    int streamsEnded,
    int drainsUnfinished,
    Histogram bindUs,
    Histogram bindBytes,
    Histogram drainPerProxyUs,
    Histogram drainEverywhereUs,
    String connectFailure) {}
