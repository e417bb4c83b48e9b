import { chooseTarget } from '../decisions';
import { createError } from '../errors';
import type { Logger } from '../log';
import { isMemberLive, RULES_NAME, type Member, type View } from '../view';
import type { RunRequest } from './runTypes';

/** A chosen endpoint, with model and version unless it is a plain service. */
export interface Choice {
  readonly model: string;
  readonly version: string;
  readonly member: Member;
  readonly reason: string;
}

/** The version that a session is bound to. */
export interface Binding {
  readonly model: string;
  readonly version: string;
}

/** Chooses targets from the view in force and this entry's own load. */
export interface TargetChooser {
  readonly choose: (
    request: RunRequest,
    bound: Binding | undefined,
    excluded: ReadonlySet<string>,
  ) => Choice;
  readonly updateLoad: (endpoint: string, change: number) => void;
  readonly log: (request: RunRequest, choice: Choice, attempt: number) => void;
}

/** What a chooser needs. */
export interface TargetChooserOptions {
  readonly view: View;
  readonly zone: string;
  /** Gives a number in 0..1. */
  readonly readDraw: () => number;
  readonly log: Logger;
}

/** Creates the chooser of one entry. */
export const createTargetChooser = (options: TargetChooserOptions): TargetChooser => {
  const { view, zone, readDraw, log } = options;
  const loads = new Map<string, number>();

  const chooseModel = (
    request: RunRequest,
    bound: Binding | undefined,
    excluded: ReadonlySet<string>,
  ): Choice => {
    const rules = view.find('rules', RULES_NAME);
    const { organisation, task } = request;
    const qualityTarget =
      task.qualityTarget ?? organisation.qualityTarget ?? rules?.qualityTarget ?? 0;
    return chooseTarget({
      view,
      organisation,
      model: request.model ?? 'auto',
      qualityTarget,
      bound,
      readLoad: (endpoint) => loads.get(endpoint) ?? 0,
      zone,
      excluded,
      draws: [readDraw(), readDraw()],
    }).unsafeCoerce();
  };

  const chooseService = (service: string, excluded: ReadonlySet<string>): Choice => {
    const member = view
      .list('member')
      .find(
        (item) =>
          item.service === service && isMemberLive(view, item) && !excluded.has(item.endpoint),
      );
    if (member) return { model: '', version: '', member, reason: 'serves the service' };
    const message = `no endpoint serves '${service}'`;
    throw createError({ type: 'unavailable', message, step: 'entry.choose', retryAfterSeconds: 1 });
  };

  return {
    choose: (request, bound, excluded) =>
      request.service === undefined
        ? chooseModel(request, bound, excluded)
        : chooseService(request.service, excluded),
    updateLoad: (endpoint, change) => {
      loads.set(endpoint, (loads.get(endpoint) ?? 0) + change);
    },
    log: (request, choice, attempt) => {
      const { model, version, member, reason } = choice;
      const organisation = request.organisation.name;
      const { endpoint } = member;
      const { requestId } = request;
      log.info({ requestId, organisation, model, version, endpoint, attempt, reason }, 'routed');
    },
  };
};
