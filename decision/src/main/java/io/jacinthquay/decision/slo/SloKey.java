package io.jacinthquay.decision.slo;

import io.jacinthquay.model.ClassName;
import io.jacinthquay.model.CustomerId;
import java.util.Comparator;
import java.util.Objects;

/**
 * The key by which requests are counted: a class and a customer.
 *
 * @param className the class
 * @param customer the customer
 */
public record SloKey(ClassName className, CustomerId customer) implements Comparable<SloKey> {
  private static final Comparator<SloKey> ORDER =
      Comparator.comparing(SloKey::className).thenComparing(SloKey::customer);

  /**
   * Checks that no component is null.
   *
   * @throws NullPointerException if a component is null
   */
  public SloKey {
    Objects.requireNonNull(className, "className");
    Objects.requireNonNull(customer, "customer");
  }

  @Override
  public int compareTo(SloKey other) {
    return ORDER.compare(this, other);
  }
}
