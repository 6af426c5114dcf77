/** A small fake of the platform's orders and usage reports, with its own record. */
package io.jacinthquay.testkit.platform;
