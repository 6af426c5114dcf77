package io.jacinthquay.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class DeploymentTest {
  @ParameterizedTest
  @CsvSource({"0, 4, domain-a", "3, 4, domain-d", "4, 4, domain-a", "3, 3, domain-a"})
  void machinesAreSpreadOverTheDomains(int number, int domains, String domain) {
    assertEquals(domain, Deployment.domain(number, domains));
  }
}
