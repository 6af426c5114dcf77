package io.jacinthquay.model.policy;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;
import io.jacinthquay.model.CustomerId;
import java.util.Objects;

/**
 * What is known of one key; the key itself is known only to its holder.
 *
 * @param customer the owner
 * @param withdrawn whether the key has been withdrawn, which is final
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
