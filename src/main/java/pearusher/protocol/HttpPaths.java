package pearusher.protocol;

/** The paths that the assigner requests by HTTP, from discovery and from servers. */
public final class HttpPaths {
  /** Discovery's complete list of servers. */
  public static final String ENDPOINT_LIST = "/catalog/members";

  /** A server's health without a load report. */
  public static final String HEALTH = "/ping";

  /** A server's health with its load report. */
  public static final String LOAD_REPORT = "/_load";

  private HttpPaths() {}

  /**
   * Returns the path of a watch of discovery's list.
   *
   * @param generation the version of the list after which changes are wanted
   */
  public static String watch(long generation) {
    return ENDPOINT_LIST + "?follow=1&since=" + generation;
  }
}
