package io.jacinthquay.runtime.settings;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses and formats socket addresses such as {@code 10.0.0.7:9000} or {@code [::1]:9000}. */
public final class SocketAddresses {
  private static final int MAX_PORT = 65_535;

  private SocketAddresses() {}

  /**
   * Parses an address. Host names are not resolved.
   *
   * @param text an IP address, a colon and a port from 0 to 65535
   * @throws IllegalArgumentException if the text is not such an address
   */
  public static InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      throw new IllegalArgumentException("does not have the form ip:port: " + text);
    }
    return new InetSocketAddress(host(text.substring(0, colon)), port(text.substring(colon + 1)));
  }

  /**
   * Formats an address so that {@link #parse} can parse it.
   *
   * @param address a resolved address, or an address whose host is an IP address
   */
  public static String format(InetSocketAddress address) {
    String host =
        address.isUnresolved() ? address.getHostString() : address.getAddress().getHostAddress();
    boolean needsNoBrackets = host.indexOf(':') < 0 || host.startsWith("[");
    return (needsNoBrackets ? host : "[" + host + "]") + ":" + address.getPort();
  }

  private static InetAddress host(String text) {
    boolean isNumeric = text.matches("[0-9.]+") || text.matches("\\[[0-9a-fA-F:.]+\\]");
    if (!isNumeric) {
      throw new IllegalArgumentException("is not an IP address: " + text);
    }
    try {
      return InetAddress.getByName(text);
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException("is not an IP address: " + text, e);
    }
  }

  private static int port(String text) {
    try {
      int port = Integer.parseInt(text);
      if (port >= 0 && port <= MAX_PORT) {
        return port;
      }
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("is not a port: " + text, e);
    }
    throw new IllegalArgumentException("is not a port: " + text);
  }
}
