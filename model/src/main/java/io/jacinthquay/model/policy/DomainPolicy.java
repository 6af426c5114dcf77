package io.jacinthquay.model.policy;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.RegionId;
import java.util.Objects;

/**
 * The configuration of a failure domain.
 *
 * @param name the id of the failure domain
 * @param region the region that it belongs to
 */
public record DomainPolicy(DomainId name, RegionId region) {
  /**
   * Checks that both parts are present.
   *
   * @throws NullPointerException if a part is missing
   */
  @JsonCreator
  public DomainPolicy(
      @JsonProperty(value = "name", required = true) DomainId name,
      @JsonProperty(value = "region", required = true) RegionId region) {
    this.name = Objects.requireNonNull(name, "name");
    this.region = Objects.requireNonNull(region, "region");
  }
}
