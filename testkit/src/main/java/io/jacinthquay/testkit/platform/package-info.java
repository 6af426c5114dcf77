/** A fake platform that records orders and usage reports. */
package io.jacinthquay.testkit.platform;
