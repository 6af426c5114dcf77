package io.jacinthquay.router.adapter.thrift;

import java.net.InetSocketAddress;

/** Reads addresses of the form {@code ip:port}. */
public final class Addresses {
  private Addresses() {}

  /**
   * Returns the address of a text.
   *
   * @throws IllegalArgumentException if the text has another form
   */
  public static InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      throw new IllegalArgumentException("is not of the form ip:port: " + text);
    }
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      return new InetSocketAddress(text.substring(0, colon), port);
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("is not of the form ip:port: " + text, e);
    }
  }
}
