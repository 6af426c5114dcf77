package io.jacinthquay.model.policy;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;
import io.jacinthquay.model.ClassName;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.DomainId;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The configuration of a customer, which owns keys and is billed.
 *
 * @param name the id of the customer
 * @param defaultClass the class of requests that do not name one
 * @param classes the classes that the customer may use; contains {@code defaultClass}
 * @param cutOffGraceSeconds how much longer keys stay valid in a failure domain that is cut off, in
 *     seconds, 0 to 86,400
 * @param maxInFlight maximum number of concurrent requests in one router, 1 to 1,000,000
 * @param homeDomain the failure domain whose keepers accept withdrawals of the customer's keys
 */
public record CustomerPolicy(
    CustomerId name,
    ClassName defaultClass,
    List<ClassName> classes,
    long cutOffGraceSeconds,
    int maxInFlight,
    Optional<DomainId> homeDomain) {
  /** Default maximum of concurrent requests in one router. */
  public static final int DEFAULT_MAX_IN_FLIGHT = 10_000;

  /**
   * Validates the ranges and copies the list.
   *
   * @throws IllegalArgumentException if a value is out of range or the default class is not among
   *     the classes
   * @throws NullPointerException if a part is missing
   */
  public CustomerPolicy {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(defaultClass, "default_class");
    Objects.requireNonNull(homeDomain, "home_domain");
    classes = List.copyOf(classes);
    if (!classes.contains(defaultClass)) {
      throw new IllegalArgumentException("default_class must be one of classes");
    }
    Ranges.check("cut_off_grace_s", cutOffGraceSeconds, 0, 86_400);
    Ranges.check("max_in_flight", maxInFlight, 1, 1_000_000);
  }

  @JsonCreator
  static CustomerPolicy of(
      @JsonProperty(value = "name", required = true) CustomerId name,
      @JsonProperty(value = "default_class", required = true) ClassName defaultClass,
      @JsonProperty("classes") List<ClassName> classes,
      @JsonProperty("cut_off_grace_s") long cutOffGraceSeconds,
      @JsonProperty("max_in_flight") Integer maxInFlight,
      @JsonProperty("home_domain") DomainId homeDomain) {
    return new CustomerPolicy(
        name,
        defaultClass,
        classes == null ? List.of(defaultClass) : classes,
        cutOffGraceSeconds,
        Objects.requireNonNullElse(maxInFlight, DEFAULT_MAX_IN_FLIGHT),
        Optional.ofNullable(homeDomain));
  }
}
