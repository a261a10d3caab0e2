package pearusher.protocol;

/** Paths of the HTTP requests to discovery and to servers. */
public final class HttpPaths {
  /** Path of the complete endpoint list at discovery. */
  public static final String ENDPOINT_LIST = "/catalog/members";

  /** Path of a health check at a server that has no load report. */
  public static final String HEALTH = "/ping";

  /** Path of a health check at a server that answers with its load report. */
  public static final String LOAD_REPORT = "/_load";

  private HttpPaths() {}

  /**
   * Returns the path of a watch on the endpoint list at discovery.
   *
   * @param generation the version of the list that the caller has; the watch returns later changes
   */
  public static String watch(long generation) {
    return ENDPOINT_LIST + "?follow=1&since=" + generation;
  }
}
