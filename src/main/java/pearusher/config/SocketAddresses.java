package pearusher.config;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Pattern;

/** Parsing and formatting of numeric IP addresses with a port. */
public final class SocketAddresses {
  private static final String OCTET = "(\\d{1,2}|1\\d\\d|2[0-4]\\d|25[0-5])";
  private static final String IPV4 = OCTET + "(\\." + OCTET + "){3}";
  private static final String BRACKETED_IPV6 = "\\[[0-9a-fA-F:.]+\\]";

  /**
   * A numeric host. {@link InetAddress#getByName} treats any other text as a host name, including
   * one with an octet over 255, and would query the network and block the caller.
   */
  private static final Pattern HOST = Pattern.compile(IPV4 + "|" + BRACKETED_IPV6);

  private static final Pattern PORT = Pattern.compile("\\d{1,5}");

  private SocketAddresses() {}

  /**
   * Parses an IPv4 address, or an IPv6 address in brackets, followed by a colon and a port. Host
   * names are rejected, not resolved.
   *
   * @param text the text to parse
   * @return the address; empty if the text is malformed or a host name
   */
  public static Optional<InetSocketAddress> parse(String text) {
    int colon = text.lastIndexOf(':');
    String host = colon < 0 ? "" : text.substring(0, colon);
    String port = text.substring(colon + 1);
    if (!HOST.matcher(host).matches() || !PORT.matcher(port).matches()) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new InetSocketAddress(InetAddress.getByName(host), Integer.parseInt(port)));
    } catch (UnknownHostException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  /**
   * Formats an address as its numeric host and port.
   *
   * @param address a resolved address
   */
  public static String format(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }
}
