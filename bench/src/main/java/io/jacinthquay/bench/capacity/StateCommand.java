package io.jacinthquay.bench.capacity;

import io.jacinthquay.bench.BenchCommand;
import io.jacinthquay.decision.slo.SloKey;
import io.jacinthquay.decision.slo.SloRecorder;
import io.jacinthquay.decision.slo.SloSample;
import io.jacinthquay.model.ClassName;
import io.jacinthquay.model.ConfigVersion;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.KeyDigest;
import io.jacinthquay.model.Tier;
import io.jacinthquay.model.policy.ClassPolicy;
import io.jacinthquay.model.policy.ConfigChange;
import io.jacinthquay.model.policy.EntityEdit;
import io.jacinthquay.model.policy.EntityKey;
import io.jacinthquay.model.policy.EntityKind;
import io.jacinthquay.model.policy.Policy;
import io.jacinthquay.runtime.ExitCode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/**
 * Runs {@code jq-bench state}: measures the memory of a router's state by the number of customers,
 * for the configuration with two keys per customer and for the service-level counts with one class
 * per customer.
 */
public final class StateCommand implements BenchCommand {
  private static final int[] CUSTOMERS = {1_000, 2_000, 4_000, 6_100, 12_200};
  private static final int KEYS_PER_CUSTOMER = 2;

  private static final long NOW_MILLIS = 86_400_000;
  private static final ClassName CLASS = new ClassName("quick");
  private static final ClassPolicy TARGET =
      new ClassPolicy(CLASS, new Tier(0), 350, 41, 0.95, false, 5_000);

  @Override
  public String name() {
    return "state";
  }

  @Override
  public String summary() {
    return "measure the memory of a router's state";
  }

  @Override
  public void declare(Subparser parser) {}

  @Override
  public ExitCode run(Namespace arguments, PrintStream out) {
    for (int customers : CUSTOMERS) {
      long before = HeapUsage.usedBytes();
      Policy policy = policy(customers);
      long withPolicy = HeapUsage.usedBytes();
      SloRecorder recorder = recorder(customers);
      long withRecorder = HeapUsage.usedBytes();
      out.printf(
          "{\"measure\":\"state\",\"customers\":%d,\"policy_bytes\":%d,\"slo_bytes\":%d}%n",
          policy.all(EntityKind.CUSTOMER, Object.class).size(),
          withPolicy - before,
          withRecorder - withPolicy);
      recorder.snapshot(NOW_MILLIS);
    }
    return ExitCode.OK;
  }

  private static Policy policy(int customers) {
    List<EntityEdit> edits = new ArrayList<>();
    for (int i = 0; i < customers; i++) {
      String name = "customer-" + i;
      edits.add(
          EntityEdit.set(
              new EntityKey(EntityKind.CUSTOMER, name),
              "{\"default_class\":\"quick\",\"name\":\"" + name + "\"}"));
      for (int k = 0; k < KEYS_PER_CUSTOMER; k++) {
        String digest = KeyDigest.ofKey(name + "/" + k).hex();
        String json = "{\"customer\":\"" + name + "\"}";
        edits.add(EntityEdit.set(new EntityKey(EntityKind.KEY, digest), json));
      }
    }
    return Policy.empty().apply(new ConfigChange(new ConfigVersion(1), edits)).get();
  }

  private static SloRecorder recorder(int customers) {
    SloRecorder recorder = new SloRecorder();
    for (int i = 0; i < customers; i++) {
      SloKey key = new SloKey(CLASS, new CustomerId("customer-" + i));
      recorder.record(key, TARGET, new SloSample(true, 1_000, 1_000), NOW_MILLIS);
    }
    return recorder;
  }
}
