/** Ids, value types, the policy document and result codes. */
package io.jacinthquay.model;
