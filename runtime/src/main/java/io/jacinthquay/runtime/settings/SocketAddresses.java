package io.jacinthquay.runtime.settings;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Reads and writes socket addresses such as {@code 10.0.0.7:9000} or {@code [::1]:9000}. */
public final class SocketAddresses {
  private static final int MAX_PORT = 65_535;

  private SocketAddresses() {}

  /**
   * Returns the address of a text.
   *
   * @param text an IP number, a colon and a port from 0 to 65535
   * @throws IllegalArgumentException if the text is no such address; names are not looked up
   */
  public static InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      throw new IllegalArgumentException("is not of the form ip:port: " + text);
    }
    return new InetSocketAddress(host(text.substring(0, colon)), port(text.substring(colon + 1)));
  }

  /**
   * Returns the text of an address, which {@link #parse} reads back.
   *
   * @param address a resolved address, or one whose host is an IP number
   */
  public static String format(InetSocketAddress address) {
    String host =
        address.isUnresolved() ? address.getHostString() : address.getAddress().getHostAddress();
    boolean bare = host.indexOf(':') < 0 || host.startsWith("[");
    return (bare ? host : "[" + host + "]") + ":" + address.getPort();
  }

  private static InetAddress host(String text) {
    boolean numeric = text.matches("[0-9.]+") || text.matches("\\[[0-9a-fA-F:.]+\\]");
    if (!numeric) {
      throw new IllegalArgumentException("is no IP number: " + text);
    }
    try {
      return InetAddress.getByName(text);
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException("is no IP number: " + text, e);
    }
  }

  private static int port(String text) {
    try {
      int port = Integer.parseInt(text);
      if (port >= 0 && port <= MAX_PORT) {
        return port;
      }
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("is no port: " + text, e);
    }
    throw new IllegalArgumentException("is no port: " + text);
  }
}
