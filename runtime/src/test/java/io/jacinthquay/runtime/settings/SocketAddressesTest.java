package io.jacinthquay.runtime.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests parsing and formatting of socket addresses. */
class SocketAddressesTest {
  @ParameterizedTest
  @CsvSource({"127.0.0.1:80,127.0.0.1,80", "[::1]:0,0:0:0:0:0:0:0:1,0"})
  void parsesAddressAndPort(String text, String host, int port) {
    assertEquals(host, SocketAddresses.parse(text).getAddress().getHostAddress());
    assertEquals(port, SocketAddresses.parse(text).getPort());
  }

  @ParameterizedTest
  @ValueSource(strings = {"127.0.0.1:80", "[0:0:0:0:0:0:0:1]:9000", "10.0.0.7:65535"})
  void formatsWhatItParses(String text) {
    assertEquals(text, SocketAddresses.format(SocketAddresses.parse(text)));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "80", ":80", "1.2.3.4:", "1.2.3.4:70000", "host:80", "1.2.3.4:x"})
  void rejectsInvalidAddresses(String text) {
    assertThrows(IllegalArgumentException.class, () -> SocketAddresses.parse(text));
  }
}
