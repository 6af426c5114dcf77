package io.jacinthquay.model.policy;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;
import io.jacinthquay.model.CustomerId;
import java.util.Objects;

/**
 * The stored state of a key. The key itself is not stored; only its holder knows it.
 *
 * @param customer the customer that owns the key
 * @param withdrawn whether the key has been withdrawn; a withdrawn key never becomes valid again
 */
public record KeyRecord(CustomerId customer, boolean withdrawn) {
  /**
   * Checks that the owner is present.
   *
   * @throws NullPointerException if {@code customer} is missing
   */
  @JsonCreator
  public KeyRecord(
      @JsonProperty(value = "customer", required = true) CustomerId customer,
      @JsonProperty("withdrawn") boolean withdrawn) {
    this.customer = Objects.requireNonNull(customer, "customer");
    this.withdrawn = withdrawn;
  }
}
