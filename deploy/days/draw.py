#!/usr/bin/env python3
"""Draws days with a release, or with --cold with replicas that turn cold and data
centres that are emptied, and one to four troubles beside it, by seed, plays them
on clones of a repository, and tells which broke a rule or missed a duty.

  draw.py --bench PROGRAM SITE REPO FIRST-LAST [--good | --cold] [--jobs N] [--out DIR] [--log]

SITE is a site file, REPO a clone whose branch is played; clones are made beside it.
"""
import sys, random, tomllib, json, subprocess, os, argparse, re, shutil
from concurrent.futures import ThreadPoolExecutor

# troubles that any site may have beside what its file lists
OTHERS=[
 dict(kind='srv_slow',share=.15,x=4.0,for_s=5.0), dict(kind='srv_cut',share=.2,for_s=4.0),
 dict(kind='srv_cut',share=.3,for_s=4.0,how='some'), dict(kind='replace_with_reuse',share=.15),
 dict(kind='node_slow',share=.2,x=5.0,for_s=5.0), dict(kind='hup',share=.4,gap_s=1.0),
 dict(kind='reset_conns',share=.2,x=.5), dict(kind='srv_grey',share=.2,x=.4,for_s=6.0,how='errors'),
 dict(kind='srv_grey',share=.2,x=8.0,for_s=6.0,how='slow'), dict(kind='srv_grey',share=.2,x=.4,for_s=6.0,how='hang'),
 dict(kind='srv_grey',share=.2,x=.4,for_s=6.0,how='mute'), dict(kind='srv_grey',share=.2,x=.4,for_s=6.0,how='shed'),
 dict(kind='answer_lost',share=.5,x=.3,for_s=5.0), dict(kind='garble',share=.5,x=.1,for_s=5.0),
 dict(kind='give_up',share=.4,for_s=6.0), dict(kind='give_up',share=.3,x=1500.0,for_s=6.0),
 dict(kind='burst',x=2.0,for_s=5.0), dict(kind='node_freeze',share=.3,for_s=3.0),
 dict(kind='platform_down',for_s=5.0,how='silent'), dict(kind='platform_down',for_s=6.0,how='nodes silent',share=.35),
 dict(kind='core_cut',count=2,for_s=5.0), dict(kind='herd_kill',on='core',for_s=1.0,how='power'),
 dict(kind='herd_kill',on='core',how=''), dict(kind='node_kill',share=.3,for_s=2.0),
 dict(kind='roll_term',share=1.0,gap_s=1.5), dict(kind='lossy',x=.05,for_s=6.0),
 dict(kind='srv_crash',share=.3,for_s=4.0,how='dark'), dict(kind='srv_crash',share=.3,for_s=4.0),
 dict(kind='scale_out',share=.3,gap_s=1.0), dict(kind='scale_in',share=.15), dict(kind='release',share=.5,x=1.0,gap_s=1.0),
]
PLANNED={'release','scale_out','scale_in','roll_term','config_change','config_storm','big_config','revoke','rollout_good','rollout_bad','hup'}

def site(path):
    with open(path,'rb') as f: return tomllib.load(f)

# troubles that make replicas cold, or empty a data centre
COLD=[
 dict(kind='cold_return',for_s=2.0), dict(kind='cold_return',for_s=3.0,how='dark'), dict(kind='evacuate',for_s=5.0),
 dict(kind='evacuate',for_s=9.0), dict(kind='evacuate',for_s=6.0,how='warm'), dict(kind='srv_crash',share=.4,for_s=1.0),
 dict(kind='srv_crash',share=.5,for_s=3.0,how='dark'), dict(kind='srv_flap',share=.3,gap_s=1.0,for_s=6.0), dict(kind='srv_cut',share=.3,for_s=3.0,how='reborn'),
]

def cold_day(s, seed):
    """two to four of those, in any zones, beside one to four other troubles"""
    r=random.Random(f'cold/{seed}')
    length=s['length_s']; zones=[z['name'] for z in s['zones']]
    ts=[t for t in s['troubles'] if not t['kind'].startswith('rollout')]+[t for t in s['troubles'] if t['kind'].startswith('rollout')][:1]
    plan=[]; faults=[]
    for _ in range(r.randint(2,4)):
        t=dict(r.choice(COLD)); t['at']=round(r.uniform(1,length-6),1)
        if t['kind'] in('cold_return','evacuate'): t['zone']=r.choice(zones)
        if t['kind'] in('srv_crash','srv_flap') : t['service']=s['services'][0]['name']
        faults.append(t)
    for _ in range(r.randint(1,4)):
        t=dict(r.choice(ts) if r.random()<.4 else r.choice(OTHERS))
        t['at']=round(r.uniform(.5,length-4),1)
        (plan if t['kind'] in PLANNED else faults).append(t)
    o=[ '[[day]]', f'name = "cold-{seed}"','slot = "trouble"',f'seed = {seed}','one = 0.8','zero = 0.4','goal = { floor = 0.3 }']
    if r.random()<.4: o.append('closing = '+lit(dict(kind=r.choice(['kill_all','power_off_all']),down_s=1.0)))
    o+=['plan = ['] + ['  '+lit(x)+',' for x in plan]+[']','faults = [']+['  '+lit(x)+',' for x in faults]+[']']
    return '\n'.join(o)+'\n', dict(how='cold'), plan+faults

def lit(d):
    return '{ '+', '.join(f'{k} = '+(json.dumps(v) if not isinstance(v,bool) else str(v).lower()) for k,v in d.items())+' }'

def day(s, seed, good):
    r=random.Random(f'{seed}/{good}')
    lm=[x['name'] for x in s['services']]
    svc=lm[0] if r.random()<.8 else r.choice(lm)
    length=s['length_s']
    for_s=r.choice([14.0,16.0,20.0,24.0]); at=round(r.uniform(1.0, length-for_s-3),1)
    if good: rel=dict(at=at,kind='rollout_good',service=svc,for_s=for_s)
    else:
        how=r.choice(['errors','slow','under_load','one_class','late'])
        rel=dict(at=at,kind='rollout_bad',service=svc,for_s=for_s,share=round(r.uniform(.3,.6),2),how=how)
        if how=='late': rel['gap_s']=round(r.uniform(1,for_s*.6),1)
        if how=='slow': rel['x']=round(r.uniform(5,10),1)
    plan=[rel]; faults=[]
    ts=[t for t in s['troubles'] if not t['kind'].startswith('rollout') and t['kind']!='hot_tenant']
    for _ in range(r.randint(1,4)):
        t=dict(r.choice(ts) if r.random()<.5 else r.choice(OTHERS))
        t['at']=round(r.uniform(max(.5,at-2), min(length-2,at+for_s)),1)
        if t['kind'].startswith('srv_') and 'service' not in t and r.random()<.7: t['service']=svc
        (plan if t['kind'] in PLANNED else faults).append(t)
    d=s['day'][1]
    o=[ '[[day]]', f'name = "draw-{seed}"','slot = "trouble"',f'seed = {seed}','one = 0.8','zero = 0.4','goal = { floor = 0.3 }']
    if r.random()<.4: o.append('closing = '+lit(dict(kind=r.choice(['kill_all','power_off_all']),down_s=1.0)))
    o+=['plan = ['] + ['  '+lit(x)+',' for x in plan]+[']','faults = [']+['  '+lit(x)+',' for x in faults]+[']']
    return '\n'.join(o)+'\n', rel, plan[1:]+faults

def play(bench, repo, sitefile, path, rep, log=None, extra=()):
    try: os.remove(rep)
    except FileNotFoundError: pass
    c=[bench,'run',sitefile,path,'--no-cpu','--report',rep,'--why','drawn releases']+list(extra)
    if log: c+=['--log','all']
    p=subprocess.run(c,cwd=repo,capture_output=True,text=True,errors='replace')
    if log: open(log,'w').write(p.stdout+p.stderr)
    try: return json.load(open(rep)), p.stdout+p.stderr
    except Exception: return None, p.stdout+p.stderr

def main():
    a=argparse.ArgumentParser(); a.add_argument('--bench',required=True); a.add_argument('site'); a.add_argument('repo'); a.add_argument('seeds')
    a.add_argument('--good',action='store_true'); a.add_argument('--cold',action='store_true'); a.add_argument('--jobs',type=int,default=6); a.add_argument('--out',default='drawn')
    a.add_argument('--log',action='store_true'); a.add_argument('--small',action='store_true')
    a=a.parse_args(); s=site(a.site); os.makedirs(a.out,exist_ok=True)
    x=a.seeds.split('-'); seeds=range(int(x[0]),int(x[-1])+1)
    import queue
    q=queue.Queue()
    for i in range(a.jobs):
        w=f'{a.repo}.w{i}'
        if os.path.exists(w): subprocess.run(['git','-C',w,'fetch','-q','origin'],check=True); subprocess.run(['git','-C',w,'reset','-q','--hard','origin/HEAD'],check=True)
        else: subprocess.run(['git','clone','-q',a.repo,w],check=True)
        q.put(w)
    def one(seed):
        w=q.get()
        try:
            t,rel,tr=cold_day(s,seed) if a.cold else day(s,seed,a.good)
            base=f'{a.out}/{os.path.basename(a.site)[:-5]}-{"cold" if a.cold else "good" if a.good else "bad"}-{seed}'
            open(base+'.toml','w').write(t)
            j,out=play(a.bench,w,a.site,base+'.toml',base+'.json',base+'.log' if a.log else None,['--small'] if a.small else [])
            return seed,rel,tr,j,out
        finally: q.put(w)
    tally={}; 
    with ThreadPoolExecutor(a.jobs) as ex:
        for seed,rel,tr,j,out in ex.map(one,seeds):
            k=rel.get('how','good')
            n=tally.setdefault(k,[0,0,0,0]); n[0]+=1
            if j is None: print(seed,k,'NO REPORT',out[-300:]); n[3]+=1; continue
            br=j['breaks']; m=j['missed']
            if 'EXPOSURE' in br: n[1]+=1
            ms=[x for x in m if 'version' in json.dumps(x) or 'releas' in json.dumps(x) or 'roll' in json.dumps(x)]
            if ms: n[2]+=1
            if br or m or j['fault']:
                print(seed,k,{y:rel[y] for y in rel if y in('share','x','gap_s','at','for_s','service')},'breaks',br,'missed',json.dumps(m)[:200],'fault',j['fault'],'|',', '.join(f"{t['kind']}{'/'+t['how'] if t.get('how') else ''}@{t['at']}" for t in tr),flush=True)
    print(os.path.basename(a.site),'way: days, exposure, missed, unplayed',tally)
if __name__=="__main__": main()
