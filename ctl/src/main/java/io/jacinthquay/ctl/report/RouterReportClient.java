package io.jacinthquay.ctl.report;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.runtime.tls.TlsIdentity;
import io.jacinthquay.wire.convert.ConfigMessages;
import io.jacinthquay.wire.convert.SloMessages;
import io.jacinthquay.wire.gen.CallFailed;
import io.jacinthquay.wire.gen.RouterReport;
import io.jacinthquay.wire.gen.SloReport;
import io.jacinthquay.wire.transport.SecureChannel;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Objects;
import org.apache.thrift.TException;

/**
 * Fetches service-level reports from routers.
 *
 * <pre>{@code
 * Either<Failure, RouterSloReport> report = new RouterReportClient(identity, 2_000).fetch(address);
 * }</pre>
 */
public final class RouterReportClient {
  private final TlsIdentity identity;
  private final int timeoutMillis;

  /**
   * Returns a client.
   *
   * @param identity the operator's identity
   * @param timeoutMillis timeout of the call to one router, in milliseconds
   */
  public RouterReportClient(TlsIdentity identity, int timeoutMillis) {
    this.identity = Objects.requireNonNull(identity, "identity");
    this.timeoutMillis = timeoutMillis;
  }

  /** Returns the report of one router, or a failure if the call failed. */
  public Either<Failure, RouterSloReport> fetch(InetSocketAddress router) {
    try (SecureChannel channel = SecureChannel.open(router, identity, timeoutMillis)) {
      SloReport report = new RouterReport.Client(channel.protocol()).slo();
      return SloMessages.fromMessage(report)
          .map(
              counts ->
                  new RouterSloReport(
                      report.getRouter(), report.getDomain(), counts, report.getStaleness()));
    } catch (CallFailed failed) {
      return Either.left(ConfigMessages.fromMessage(failed));
    } catch (IOException | TException e) {
      return Either.left(
          Failure.of(
              ResultCode.UPSTREAM_UNREACHABLE, router + " did not answer: " + e.getMessage()));
    }
  }
}
